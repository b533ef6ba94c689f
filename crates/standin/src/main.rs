//! Starts `rattanfall-standin`.

fn main() {}
