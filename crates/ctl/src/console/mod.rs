//! Input and output streams of one command.

use std::io::{BufRead, Write};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;

use crate::error::{CtlError, ErrorKind};
use crate::exit::Exit;

/// Columns at which error reports are wrapped.
const REPORT_WIDTH: usize = 100;

/// Streams of one command. They are passed in, so that tests can run commands in process.
pub struct Console<'a> {
    /// Receives results.
    pub out: &'a mut dyn Write,
    /// Receives reports, questions and errors.
    pub err: &'a mut dyn Write,
    /// Source of the answers to questions.
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
        let text =
            text.map_err(|error| CtlError::new(ErrorKind::File, format!("cannot write JSON: {error}")))?;
        self.line(&text)
    }

    /// Prints a line that is not part of the result. Write errors are ignored.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }

    /// Prints a diagnostic with the source lines that its labels point at.
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

    /// Asks a question. Only `y` and `yes` confirm; any other line and the end of the input decline.
    pub(crate) fn confirm(&mut self, question: &str) -> bool {
        let _ = write!(self.err, "{question} [y/N] ");
        let _ = self.err.flush();
        let mut answer = String::new();
        let read = self.input.read_line(&mut answer);
        read.is_ok() && matches!(answer.trim(), "y" | "yes")
    }
}

fn write_error(error: &std::io::Error) -> CtlError {
    CtlError::new(ErrorKind::File, format!("cannot write the result: {error}"))
}
