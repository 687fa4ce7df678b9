"""What a caller uses: the entry list, submissions, and answers that resume."""
