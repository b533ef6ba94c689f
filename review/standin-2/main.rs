//! Stand-ins for the platform, and the cases of the second review that use them.
//!
//! `standin CASE FOLDER` plays a case, with its record in the folder. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case couldn't run. With `TROUBLE=0` it plays the case without the disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod node;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match arguments.get(1..) {
        Some([case, folder]) => cases::play(case, folder.as_ref(), trouble),
        _ => Err("usage: standin CASE FOLDER".into()),
    };
    match outcome {
        Ok(None) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("the rule was broken: {broken}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
