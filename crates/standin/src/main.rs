//! Entry point of `rattanfall-standin`.

fn main() -> miette::Result<()> {
    rattanfall_standin::run()
}
