//! Allocation of capacity by share.
