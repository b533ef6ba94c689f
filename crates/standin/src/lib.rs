//! Stand-ins for the systems around rattanfall: the platform (log service and list of instances) and the upstream
//! workers. Both can inject faults. `docs/interfaces.md` describes their HTTP interfaces.

pub mod http;
pub mod logs;
pub mod options;
pub mod platform;
pub mod worker;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;

use http::Server;
use miette::{IntoDiagnostic, WrapErr};
use options::{Command, PlatformOptions, WorkerOptions};

/// Runs the stand-in that the command line selects, until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if an address cannot be bound or a worker cannot be registered.
pub fn run() -> miette::Result<()> {
    logs::init();
    let command = options::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    runtime.block_on(async {
        let servers = match command {
            Command::Platform(options) => vec![start_platform(options)?],
            Command::Worker(options) => start_workers(options).await?,
        };
        wait_for_shutdown().await.into_diagnostic()?;
        servers.into_iter().for_each(Server::close);
        Ok(())
    })
}

/// Starts a platform with an empty log and an empty list.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start_platform(options: PlatformOptions) -> miette::Result<Server> {
    let listener = bind(options.listen.ip(), options.listen.port())?;
    let platform = Arc::new(platform::Platform::new(options));
    let server = http::serve(listener, platform, 2).into_diagnostic()?;
    log::info!(address:% = server.address(); "platform is up");
    Ok(server)
}

/// Starts the workers of one process on consecutive ports and registers them if `options.platform` is set.
///
/// # Errors
///
/// Fails if an address cannot be bound or the platform does not accept a registration.
pub async fn start_workers(options: WorkerOptions) -> miette::Result<Vec<Server>> {
    let mut servers = Vec::new();
    for number in 0..options.count {
        let port = if options.port == 0 { 0 } else { options.port + number };
        let listener = bind(options.ip, port)?;
        let address = listener.local_addr().into_diagnostic()?;
        let worker = Arc::new(worker::Worker::new(options.spec(number, address)));
        if let Some(platform) = &options.platform {
            register(platform, &worker).await?;
        }
        servers.push(http::serve(listener, worker, 1).into_diagnostic()?);
    }
    log::info!(count = options.count, pool = options.pool, zone = options.zone; "workers are up");
    Ok(servers)
}

async fn register(platform: &str, worker: &worker::Worker) -> miette::Result<()> {
    let instance = worker.instance();
    let path = format!("/instances/{}", instance.name);
    let answer = http::call(platform, ::http::Method::PUT, &path, &instance).await;
    let (status, _) = answer.into_diagnostic().wrap_err("the platform cannot be reached")?;
    miette::ensure!(
        status.is_success(),
        "the platform answered {status} to the registration of {}",
        instance.name
    );
    Ok(())
}

fn bind(ip: IpAddr, port: u16) -> miette::Result<TcpListener> {
    let address = SocketAddr::new(ip, port);
    TcpListener::bind(address).into_diagnostic().wrap_err_with(|| format!("cannot listen on {address}"))
}

async fn wait_for_shutdown() -> std::io::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => result,
    }
}
