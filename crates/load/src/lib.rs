//! Library half of `rattanfall-load`; `main.rs` only starts it.
