//! Fleet sizes, and series of sizes in which one dimension grows.

/// Size of a fleet in every dimension that the cost of an entry instance may depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) workers: u32,
    pub(crate) pools: u32,
    pub(crate) teams: u32,
    pub(crate) zones: u32,
    /// Number of entry instances.
    pub(crate) members: u32,
    /// Number of tasks that the measured instance runs.
    pub(crate) tasks: u32,
}

/// Today's size: 6 entry instances, five pools of 10 workers.
pub(crate) const TODAY: Size = Size { workers: 50, pools: 5, teams: 6, zones: 3, members: 6, tasks: 0 };
/// Size in two years, with 2 entry instances in each of 15 zones.
pub(crate) const TARGET: Size =
    Size { workers: 2_700, pools: 34, teams: 88, zones: 15, members: 30, tasks: 0 };

/// Sizes that differ in one dimension only.
pub(crate) struct Series {
    /// Name of the dimension.
    pub(crate) name: &'static str,
    /// Values of that dimension, with the complete sizes.
    pub(crate) sizes: Vec<(u32, Size)>,
}

/// One series per dimension around a base size, each up to the target size or beyond.
pub(crate) fn series(base: Size) -> Vec<Series> {
    vec![
        grow("workers", &[338, 675, 1_350, 2_700], |n| Size { workers: n, ..base }),
        grow("pools", &[5, 11, 22, 34], |n| Size { pools: n, ..base }),
        grow("teams", &[11, 22, 44, 88], |n| Size { teams: n, ..base }),
        grow("zones", &[3, 6, 10, 15], |n| Size { zones: n, ..base }),
        grow("members", &[8, 15, 30, 60], |n| Size { members: n, ..base }),
        grow("tasks", &[0, 100, 200, 400], |n| Size { tasks: n, ..base }),
    ]
}

fn grow(name: &'static str, values: &[u32], size: impl Fn(u32) -> Size) -> Series {
    Series { name, sizes: values.iter().map(|&n| (n, size(n))).collect() }
}
