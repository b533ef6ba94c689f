//! `rattanctl keys`.

use clap::ArgMatches;
use http::Method;
use rattanfall_wire::operator::{GrantKey, KeyRow, Status};
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::{Context, change};
use crate::args;
use crate::client::Client;
use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;
use crate::table;

/// Random bytes in a key. 256 bits cannot be guessed, so an unsalted hash is enough to protect the key.
const KEY_BYTES: usize = 32;

#[derive(Serialize)]
struct Granted<'a> {
    id: Option<u64>,
    team: &'a str,
    key: &'a str,
    offset: u64,
}

/// Creates a key, registers its hash and prints the key. The key is printed only after the change was accepted, so a
/// key that may not be registered is never used.
pub(super) fn grant(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let team = args::text(matches, "team");
    let key = hex(&rand::random::<[u8; KEY_BYTES]>());
    let body = GrantKey { team: team.into(), hash: hex(&Sha256::digest(&key)) };
    let accepted = client.change(Method::POST, "/v1/keys", &body)?;
    let id = accepted.value.map_or_else(|| "?".to_owned(), |id| id.to_string());
    let shown = if context.json {
        context.console.json(&Granted { id: accepted.value, team, key: &key, offset: accepted.offset })
    } else {
        context.console.line(&key)
    };
    shown.map_err(|error| unprinted_key_error(&error, &id))?;
    if !context.json {
        let note = format!("granted key {id} to team {team} at offset {}; shown only once", accepted.offset);
        context.console.note(&note);
    }
    Ok(Exit::Ok)
}

fn unprinted_key_error(error: &CtlError, id: &str) -> CtlError {
    let message = format!("key {id} was granted but could not be printed: {}", error.message);
    CtlError::new(ErrorKind::File, message).with_help(format!("withdraw it: `rattanctl keys withdraw {id}`"))
}

/// Withdraws a key permanently.
pub(super) fn withdraw(
    matches: &ArgMatches,
    client: &Client,
    context: &mut Context<'_, '_>,
) -> Result<Exit, CtlError> {
    let id = matches.get_one::<u32>("id").copied().unwrap_or_default();
    let accepted = client.change(Method::DELETE, &format!("/v1/keys/{id}"), &serde_json::json!({}))?;
    change::show(&format!("withdrew key {id}"), &accepted, context)
}

/// Lists the ids, teams and states of the keys.
pub(super) fn list(client: &Client, context: &mut Context<'_, '_>) -> Result<Exit, CtlError> {
    let status: Status = client.get("/v1/status")?;
    if context.json {
        context.console.json(&status.keys)?;
    } else {
        let rows = status.keys.iter().map(key_row).collect();
        context.console.line(&table::render(&["key", "team", "state"], rows))?;
    }
    Ok(Exit::Ok)
}

fn key_row(key: &KeyRow) -> Vec<String> {
    let state = if key.withdrawn { "withdrawn" } else { "valid" };
    vec![key.id.to_string(), key.team.clone(), state.into()]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
