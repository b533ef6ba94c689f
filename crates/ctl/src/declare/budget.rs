//! Checks availability budgets against the counts of workers that an operator names.

use rattanfall_core::declaration::{Parsed, Problem};

/// Adds a problem for each budget that cannot hold. Returns warnings for budgets that leave no worker to drain.
pub(crate) fn check_budgets<'a>(
    parsed: &mut Parsed,
    counts: impl Iterator<Item = &'a (String, u32)>,
) -> Vec<Problem> {
    let mut warnings = Vec::new();
    for (pool, count) in counts {
        let path = format!("pools.{pool}.min_serving");
        if !parsed.declaration.pools.contains_key(pool) {
            let message = "--workers names a pool that is not declared".into();
            parsed.add(Problem { path: format!("pools.{pool}"), message });
            continue;
        }
        let needed = parsed.declaration.min_serving(pool);
        if needed > *count {
            let message = format!("the budget of {needed} cannot hold with {count} workers");
            parsed.add(Problem { path, message });
        } else if needed == *count && needed > 0 {
            let message = format!("the budget of {needed} leaves none of {count} workers to drain");
            warnings.push(Problem { path, message });
        }
    }
    warnings
}
