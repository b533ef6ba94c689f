//! Wire types of rattanfall, one module per interface.
//!
//! Conversions from and to the types of `rattanfall-core` are implemented here, so that a change of an interface is
//! confined to its module. `docs/interfaces.md` describes the interfaces.

pub mod caller;
pub mod forward;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod work;
pub mod worker;
