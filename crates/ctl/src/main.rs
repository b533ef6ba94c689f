//! Starts `rattanctl`.

fn main() {}
