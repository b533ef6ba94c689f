//! Entry point of `rattanctl`.

use std::io::{self, IsTerminal};
use std::process::ExitCode;

use rattanctl::Console;

fn main() -> ExitCode {
    let color = io::stderr().is_terminal();
    let (mut out, mut err, mut input) = (io::stdout(), io::stderr(), io::stdin().lock());
    let mut console = Console { out: &mut out, err: &mut err, input: &mut input, color };
    ExitCode::from(rattanctl::run(std::env::args_os(), &mut console).code())
}
