"""What a caller uses: entry list, submission numbers, resume."""
