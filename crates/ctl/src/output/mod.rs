//! Output as tables or JSON.

use std::io::Write;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// Prints a line. Write errors are ignored, since a reader such as `head` may close the pipe early.
pub fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as one line of JSON.
pub fn json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => line(&text),
        Err(error) => eprintln!("eelctl: can't encode the result as JSON: {error}"),
    }
}

/// Formats rows as aligned columns under upper-case headings.
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
