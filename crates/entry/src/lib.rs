//! Implementation of `rattanfall-entry`, the process of one entry instance.
//!
//! This crate does the I/O. All decisions are made by `rattanfall_core::engine::Engine`, which [`shell`] owns: handlers
//! and background tasks pass it events, and it routes the engine's commands to them.

pub mod callers;
pub mod config;
pub mod forward;
pub mod instance;
pub mod logs;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod peers;
pub mod platform;
mod rpc;
pub mod server;
pub mod shell;
pub mod upstreams;

use miette::IntoDiagnostic;
use tokio::signal::unix::{SignalKind, signal};

use config::Config;
use instance::Instance;

/// Runtime threads for the platform, the peers and the engine's ticks. Callers and operators have their own.
const RUNTIME_THREADS: usize = 2;

/// Runs the process until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a setting is invalid or the instance cannot start.
pub fn run() -> miette::Result<()> {
    let config = Config::parse(&options::raw_settings(&options::command().get_matches()))?;
    logs::start(&config.log);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(RUNTIME_THREADS).enable_all().build();
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
