//! Plain text tables.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};

/// Renders rows below a header, without borders. Columns whose cells are all numbers are aligned to the right.
pub(crate) fn render(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let numeric: Vec<usize> = (0..header.len()).filter(|index| is_numeric(&rows, *index)).collect();
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(header.to_vec()).add_rows(rows);
    for index in numeric {
        if let Some(column) = table.column_mut(index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let lines: Vec<String> = table.lines().map(|line| line.trim_end().to_owned()).collect();
    lines.join("\n")
}

fn is_numeric(rows: &[Vec<String>], index: usize) -> bool {
    let mut cells = rows.iter().filter_map(|row| row.get(index));
    !rows.is_empty() && cells.all(|cell| cell.parse::<u64>().is_ok())
}
