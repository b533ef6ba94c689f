//! Wire types of rattanfall.
//!
//! Each interface has a module of its own. Conversions from and to the types of `rattanfall-core` are `From` and
//! `TryFrom`, so a changed interface touches one module. `docs/interfaces.md` describes the interfaces.

pub mod caller;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod work;
pub mod worker;
