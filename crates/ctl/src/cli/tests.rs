use super::command;

// Guards against contradictory argument definitions, which clap reports only at run time.
#[test]
fn command_line_is_consistent() {
    command().debug_assert();
}

#[test]
fn help_lists_the_commands_and_exit_codes() {
    insta::assert_snapshot!(command().term_width(90).render_help());
}
