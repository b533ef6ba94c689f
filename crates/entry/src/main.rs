//! Starts `rattanfall-entry`.

fn main() -> miette::Result<()> {
    rattanfall_entry::run()
}
