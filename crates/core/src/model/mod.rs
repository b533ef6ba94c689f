//! Specification for the model checker.
