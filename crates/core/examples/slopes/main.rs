//! Measures how the cost of one entry instance grows with the size of the fleet.
//!
//! The engine runs in virtual time, without I/O and with a fixed seed; the other members are represented by their log
//! records and digests. The program prints processor time, bytes and memory for each size, and the slope of each cost
//! by least squares. `docs/CAPACITY.md` is computed from its output.
//!
//! Usage: `slopes [--csv] [today|target|members|<dimension>...]`. Without a name, all series are measured.

mod fit;
mod measure;
mod meter;
mod rig;
mod sizes;

use measure::{COLUMNS, measure};
use sizes::{Series, Size, TARGET, TODAY, series};

fn main() {
    let mut names: Vec<String> = std::env::args().skip(1).collect();
    let csv = names.iter().any(|name| name == "--csv");
    names.retain(|name| name != "--csv");
    let mut all = vec![
        Series { name: "today", sizes: vec![(0, TODAY)] },
        Series { name: "target", sizes: vec![(0, TARGET)] },
    ];
    all.extend(series(TARGET));
    all.retain(|one| names.is_empty() || names.iter().any(|name| name == one.name));
    print_row(csv, "size", &COLUMNS.map(str::to_owned));
    for one in &all {
        print_series(csv, one);
    }
}

fn print_series(csv: bool, series: &Series) {
    let mut rows: Vec<(f64, [f64; COLUMNS.len()])> = Vec::new();
    for (value, size) in &series.sizes {
        let row = measure(*size);
        print_row(csv, &label(series.name, *value, *size), &row.map(|cell| format!("{cell:.2}")));
        rows.push((f64::from(*value), row));
    }
    if rows.len() < 2 {
        return;
    }
    let lines = std::array::from_fn::<_, { COLUMNS.len() }, _>(|column| {
        let points: Vec<(f64, f64)> = rows.iter().map(|(x, row)| (*x, row[column])).collect();
        fit::fit(&points)
    });
    print_row(csv, &format!("  slope per {}", series.name), &lines.map(|l| format!("{:.4}", l.slope)));
    print_row(csv, "  value at 0", &lines.map(|l| format!("{:.2}", l.intercept)));
    print_row(csv, "  r2", &lines.map(|l| format!("{:.3}", l.r2)));
}

fn label(name: &str, value: u32, size: Size) -> String {
    if value > 0 || name == "tasks" { format!("{name}={value}") } else { format!("{name} {}", size.workers) }
}

fn print_row(csv: bool, label: &str, cells: &[String; COLUMNS.len()]) {
    if csv {
        println!("{},{}", label.trim(), cells.join(","));
        return;
    }
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>13}")).collect();
    println!("{label:<22}{}", cells.join(""));
}
