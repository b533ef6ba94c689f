//! Load generator of rattanfall. Sends the load of several teams, measures latency from the intended send time, and
//! checks the responses against the workers' journals for violated guarantees.

pub mod audit;
pub mod client;
pub mod flow;
pub mod idle;
pub mod logs;
pub mod options;
pub mod pacer;
pub mod report;
mod run;
pub mod send;
pub mod share;
pub mod tally;
pub mod targets;

use std::fs::File;
use std::process::ExitCode;

use miette::{IntoDiagnostic, WrapErr};
use options::Options;
use report::Report;
pub use run::run_load;

/// Exit code if a guarantee to a caller was violated.
const EXIT_VIOLATION: u8 = 3;

/// Runs the load given by the arguments and writes the report.
///
/// # Errors
///
/// Fails if the arguments are wrong, the platform does not answer, or an output cannot be written.
pub fn run() -> miette::Result<ExitCode> {
    logs::start();
    let options = options::parse();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(options.threads).enable_all().build().into_diagnostic()?;
    let report = runtime.block_on(run_load(&options))?;
    write(&report, &options)?;
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VIOLATION) })
}

fn write(report: &Report, options: &Options) -> miette::Result<()> {
    let create = |path| File::create(path).into_diagnostic().wrap_err("an output cannot be written");
    match &options.json {
        Some(path) if path.as_os_str() == "-" => {
            println!("{}", serde_json::to_string_pretty(report).into_diagnostic()?);
        }
        path => {
            println!("{}", report::render(report));
            if let Some(path) = path {
                serde_json::to_writer_pretty(create(path)?, report).into_diagnostic()?;
            }
        }
    }
    if let Some(path) = &options.csv {
        report::write_csv(report, create(path)?).into_diagnostic()?;
    }
    if let Some(path) = &options.plot {
        report::write_plot(report, path)?;
    }
    Ok(())
}
