//! Starts `rattanfall-load`.

fn main() {}
