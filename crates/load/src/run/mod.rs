//! A run: sends the load, audits the journals and builds the report.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use miette::IntoDiagnostic;
use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::audit;
use crate::client::Client;
use crate::flow::{self, Flow};
use crate::idle::IdleConnections;
use crate::options::Options;
use crate::pacer;
use crate::report::{Comparison, Report};
use crate::send::{Context, Mode};
use crate::tally::Tally;
use crate::targets::Workers;

/// Time between the setup and the start of the load.
const START_DELAY: Duration = Duration::from_millis(100);

/// Sends the load, audits it and returns the report.
///
/// # Errors
///
/// Fails if a flow is malformed, no entry instance is given, or the platform does not respond.
pub async fn run_load(options: &Options) -> miette::Result<Report> {
    let mut flows = flow::parse(&options.flows, options.surge)?;
    for flow in &mut flows {
        flow.rate *= options.scale;
    }
    miette::ensure!(!options.entries.is_empty(), "no entry instance is named");
    let before = workers(options).await?;
    let direct = match &before {
        Some(workers) if options.direct => {
            Some(run_flows(options, &flows, Mode::Direct(workers.clone())).await?.0)
        }
        _ => None,
    };
    let idle = IdleConnections::open(&options.entries, options.connections, options.refresh).await;
    let (mut tally, prefix) = run_flows(options, &flows, Mode::Entries(options.entries.clone())).await?;
    let idle = idle.close().await;
    let audit = match (&before, workers(options).await?) {
        (Some(before), Some(after)) => {
            let all: BTreeSet<Arc<str>> = before.all().chain(after.all()).cloned().collect();
            let journals = audit::fetch(&all, &prefix).await;
            Some(audit::check(&mut tally, &flows, &prefix, &journals))
        }
        _ => None,
    };
    let load_seconds = usize::try_from(options.duration.as_secs()).unwrap_or(usize::MAX - 1);
    let mut report = Report::new(&tally, &flows, load_seconds, audit);
    report.idle = (options.connections > 0).then_some(idle);
    report.direct = direct.map(|direct| Comparison::new(&tally, &direct));
    Ok(report)
}

async fn workers(options: &Options) -> miette::Result<Option<Workers>> {
    match &options.platform {
        Some(platform) => Ok(Some(Workers::read(platform).await?)),
        None => Ok(None),
    }
}

async fn run_flows(options: &Options, flows: &[Flow], mode: Mode) -> miette::Result<(Tally, String)> {
    let (completions, received) = mpsc::channel();
    let start = Instant::now() + START_DELAY;
    let prefix = format!("{:08x}", rand::random::<u32>());
    let context = Arc::new(Context {
        flows: flows.to_vec(),
        client: Client::default(),
        mode,
        prefix: prefix.clone(),
        start,
        task_deadline: start + options.duration + options.drain,
        tolerate_cuts: options.tolerate_cuts,
        completions,
    });
    let owned = flows.to_vec();
    let collector = tokio::task::spawn_blocking(move || {
        let mut tally = Tally::default();
        received.iter().for_each(|completion| tally.add(&owned, completion));
        tally
    });
    if options.closed > 0 {
        tokio::time::sleep_until(start).await;
        pacer::closed_loop(context, options.duration, options.seed, options.closed).await;
    } else {
        pacer::open_loop(context, options.duration, options.seed, Handle::current()).into_diagnostic()?;
    }
    // The channel closes when the pacer and the last work item have dropped the context.
    Ok((collector.await.into_diagnostic()?, prefix))
}
