//! Implementation of `rattanctl`, the command line for operators. It is a library so that tests can run commands in
//! process.
//!
//! `validate` works offline. Every other command calls an entry instance over the operator interface. A change is sent
//! to another instance only if it certainly had no effect at the one before.

pub mod args;
pub mod client;
mod commands;
mod console;
mod declare;
mod error;
mod exit;
mod table;

use std::ffi::OsString;

pub use console::Console;
pub use error::{CtlError, ErrorKind};
pub use exit::Exit;

/// Runs one command line, program name included, and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>, console: &mut Console<'_>) -> Exit {
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return console.show_usage(&error),
    };
    let json = matches.get_flag(args::JSON);
    match commands::run(&matches, console) {
        Ok(exit) => exit,
        Err(error) => {
            console.show_error(&error, json);
            error.kind.exit()
        }
    }
}
