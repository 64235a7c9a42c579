//! Tables for people and JSON for scripts.

use std::io::Write;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// Prints a line; a reader that went away, such as `head`, is no error.
pub fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as JSON on one line.
pub fn json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => line(&text),
        Err(error) => eprintln!("eelctl: can't print the answer: {error}"),
    }
}

/// Rows under headings, in columns.
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let head: Vec<String> = headings.iter().map(|h| h.to_uppercase()).collect();
    let lines = std::iter::once(&head).chain(rows).map(|row| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}
