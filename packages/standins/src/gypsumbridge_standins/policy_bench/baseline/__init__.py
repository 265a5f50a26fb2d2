"""Small client-side policies that the product is compared with."""
