//! Library half of `rattanctl`; `main.rs` only starts it.
