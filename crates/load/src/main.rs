//! Entry point of `rattanfall-load`.

use std::process::ExitCode;

fn main() -> miette::Result<ExitCode> {
    rattanfall_load::run()
}
