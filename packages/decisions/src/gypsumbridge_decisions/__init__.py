"""Pure decisions and data types of the query tier."""
