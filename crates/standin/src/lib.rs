//! Library half of `rattanfall-standin`; `main.rs` only starts it.
