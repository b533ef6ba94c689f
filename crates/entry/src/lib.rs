//! Library half of `rattanfall-entry`; `main.rs` only starts it.
