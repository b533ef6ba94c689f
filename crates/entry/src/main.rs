//! Starts `rattanfall-entry`.

fn main() {}
