//! Checks availability budgets against the counts of workers that an operator names.

use rattanfall_core::declaration::{Declaration, Parsed, Problem};

/// Adds a problem for each budget that cannot hold. Returns warnings for budgets that leave no worker to drain.
pub(crate) fn check_budgets<'a>(
    parsed: &mut Parsed,
    counts: impl Iterator<Item = &'a (String, u32)>,
) -> Vec<Problem> {
    let mut warnings = Vec::new();
    for (pool, count) in counts {
        if !parsed.declaration.pools.contains_key(pool) {
            let message = "--workers names a pool that is not declared".into();
            parsed.add(Problem { path: format!("pools.{pool}"), message });
            continue;
        }
        let needed = parsed.declaration.min_serving(pool);
        let path = budget_path(&parsed.declaration, pool);
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

/// Entry that sets the budget of a pool: its exception, or the pool itself.
fn budget_path(declaration: &Declaration, pool: &str) -> String {
    let exceptions = declaration.exceptions.iter();
    let own = exceptions.clone().position(|e| e.field == "min_serving" && e.pool.as_deref() == Some(pool));
    let all = exceptions.clone().position(|e| e.field == "min_serving" && e.pool.is_none());
    let found = own.or(all).map(|index| format!("exceptions[{index}].value"));
    found.unwrap_or_else(|| format!("pools.{pool}.min_serving"))
}
