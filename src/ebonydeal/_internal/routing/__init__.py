"""Pure decisions: scores, subsets, prefix view, limits, outliers."""
