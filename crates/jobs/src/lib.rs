//! Jobs of rattanfall: accepted work that outlives every process.
//!
//! [`dispatch`] decides, without I/O. [`node`] is the process around it: it follows the store, takes calls and
//! carries out commands through the [`ports`], which an adapter implements.

pub mod catalog;
pub mod dispatch;
pub mod ids;
pub mod metrics;
pub mod node;
pub mod ports;
pub mod record;
pub mod spec;
pub mod summary;
pub mod table;
