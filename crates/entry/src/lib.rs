//! Library half of `rattanfall-entry`; `main.rs` only starts it.
//!
//! The process does the I/O of one entry instance. The decisions are those of `rattanfall_core::engine::Engine`,
//! which [`shell`] owns: handlers and tasks pass it events, and it routes the engine's commands to them.

pub mod callers;
pub mod config;
pub mod instance;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod peers;
pub mod platform;
pub mod server;
pub mod shell;
pub mod upstreams;

use miette::IntoDiagnostic;
use tokio::signal::unix::{SignalKind, signal};

use config::Config;
use instance::Instance;

/// Threads for the platform, the peers and the ticks.
const THREADS: usize = 2;

/// Runs the process until a signal asks it to stop.
///
/// # Errors
///
/// Fails if the settings cannot be used or the process cannot start.
pub fn run() -> miette::Result<()> {
    let config = Config::check(&options::texts(&options::command().get_matches()))?;
    logs::start(&config.log);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    let served = runtime.block_on(serve(config));
    runtime.shutdown_background();
    served
}

async fn serve(config: Config) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let instance = Instance::start(config)?;
    log::info!(
        callers:% = instance.callers(), operators:% = instance.operators(), peers:% = instance.peers;
        "the entry instance listens"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("the entry instance stops");
    instance.stop().await;
    Ok(())
}
