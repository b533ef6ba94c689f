//! Output streams and input of one command.

use std::io::{BufRead, Write};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;

use crate::error::{CtlError, Kind};
use crate::exit::Exit;

/// Width of reports, in columns.
const REPORT_WIDTH: usize = 100;

/// Streams of one command. Results go to `out`; reports, questions and errors go to `err`.
pub struct Console<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Reports, questions and errors.
    pub err: &'a mut dyn Write,
    /// Answers to questions.
    pub input: &'a mut dyn BufRead,
    /// True if reports may use colours.
    pub color: bool,
}

impl Console<'_> {
    /// Prints a line of the result.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    pub(crate) fn line(&mut self, text: &str) -> Result<(), CtlError> {
        writeln!(self.out, "{text}").and_then(|()| self.out.flush()).map_err(|error| write_error(&error))
    }

    /// Prints a result as one JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    pub(crate) fn json(&mut self, value: &impl Serialize) -> Result<(), CtlError> {
        let text = serde_json::to_string_pretty(value);
        let text = text.map_err(|error| CtlError::new(Kind::File, format!("cannot write JSON: {error}")))?;
        self.line(&text)
    }

    /// Prints a remark that is no part of the result.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }

    /// Prints a report with the lines that it points at.
    pub(crate) fn report(&mut self, diagnostic: &dyn Diagnostic) {
        let theme = if self.color { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
        let handler = GraphicalReportHandler::new_themed(theme).with_width(REPORT_WIDTH).with_links(false);
        let mut text = String::new();
        if handler.render_report(&mut text, diagnostic).is_ok() {
            let _ = writeln!(self.err, "{}\n", text.trim_end());
        }
    }

    pub(crate) fn show_error(&mut self, error: &CtlError, json: bool) {
        if !json {
            self.report(error);
        } else if let Ok(text) = serde_json::to_string(&error.body()) {
            self.note(&text);
        }
    }

    pub(crate) fn show_usage(&mut self, error: &clap::Error) -> Exit {
        let text = error.render().to_string();
        if error.use_stderr() {
            let _ = write!(self.err, "{text}");
            return Exit::Usage;
        }
        let _ = write!(self.out, "{text}");
        Exit::Ok
    }

    /// Asks a question. Only `y` and `yes` agree; the end of the input declines.
    pub(crate) fn confirm(&mut self, question: &str) -> bool {
        let _ = write!(self.err, "{question} [y/N] ");
        let _ = self.err.flush();
        let mut answer = String::new();
        let read = self.input.read_line(&mut answer);
        read.is_ok() && matches!(answer.trim(), "y" | "yes")
    }
}

fn write_error(error: &std::io::Error) -> CtlError {
    CtlError::new(Kind::File, format!("cannot write the result: {error}"))
}
