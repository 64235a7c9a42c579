use super::table;

#[test]
fn columns_are_as_wide_as_their_longest_cell() {
    let rows = [
        vec!["entry-1".to_owned(), "live".to_owned()],
        vec!["e2".to_owned(), "x".to_owned()],
    ];
    insta::assert_snapshot!(table(&["host", "state"], &rows), @r"
    HOST     STATE
    entry-1  live
    e2       x
    ");
}
