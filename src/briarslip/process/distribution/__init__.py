"""Distribution of configuration versions, from the store and among peers."""
