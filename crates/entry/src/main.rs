//! Entry point of `rattanfall-entry`; see the library for the implementation.

fn main() -> miette::Result<()> {
    rattanfall_entry::run()
}
