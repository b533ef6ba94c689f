//! Checks availability budgets against the worker counts given with `--workers`.

use rattanfall_core::declaration::{Declaration, Parsed, Problem};

/// Adds a problem for each budget above the count of workers. Returns warnings for budgets equal to it, since no worker
/// could be drained then.
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
        let required = parsed.declaration.min_serving(pool);
        let path = budget_path(&parsed.declaration, pool);
        if required > *count {
            let message = format!("the budget of {required} cannot hold with {count} workers");
            parsed.add(Problem { path, message });
        } else if required == *count && required > 0 {
            let message = format!("the budget of {required} leaves none of {count} workers to drain");
            warnings.push(Problem { path, message });
        }
    }
    warnings
}

/// Path of the setting that determines the budget of a pool: the exception for the pool, the exception for all pools,
/// or the pool's own field.
fn budget_path(declaration: &Declaration, pool: &str) -> String {
    let exceptions = declaration.exceptions.iter();
    let pool_exception =
        exceptions.clone().position(|e| e.field == "min_serving" && e.pool.as_deref() == Some(pool));
    let general_exception = exceptions.clone().position(|e| e.field == "min_serving" && e.pool.is_none());
    let found = pool_exception.or(general_exception).map(|index| format!("exceptions[{index}].value"));
    found.unwrap_or_else(|| format!("pools.{pool}.min_serving"))
}
