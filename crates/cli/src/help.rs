//! Help texts of the command, of a group of verbs and of one verb.

/// The help of the command as a whole.
pub const TOP: &str = "\
corianderway: steers the traffic of a fleet of entry instances

USAGE:
  corianderway <GROUP> <VERB> [ARGS] [--platform ADDR] [--json]

GROUPS:
  contract apply FILE.. | diff FILE | show ACCOUNT | list
  key      grant ACCOUNT | withdraw ID | list
  move     start SERVICE VERSION | watch SERVICE | back SERVICE | show SERVICE | list
  drain    plan SCOPE NAME | watch SCOPE NAME | cancel SCOPE NAME | list
  epoch    show | confirm
  status   [--instance ADDR]..
  explain  REQUEST --instance ADDR..
  chart    list | print NAME | check FILE

  `corianderway GROUP --help` and `corianderway GROUP VERB --help` show more.

ENVIRONMENT:
  CORIANDERWAY_PLATFORM   the platform's address, unless --platform is given
  CORIANDERWAY_INSTANCES  admin addresses of entry instances, separated by commas

EXIT CODES:
  0  done
  1  failed: the input is invalid or the state of the fleet does not allow it
  2  the arguments are invalid
  3  conflict: another operator changed the object; the change is printed
  4  the platform or an instance could not be reached
  5  the wait timed out; the operation continues
";

/// Extracts the section on one verb from the help of its group.
///
/// Returns the whole help if no verb is given or the verb has no section.
pub fn section(help: &str, group: &str, verb: Option<&str>) -> String {
    let (common, verbs) = help.split_once("SUBCOMMANDS:").unwrap_or((help, ""));
    let options = common.split_once("OPTIONS:").map_or("", |(_, o)| o);
    let heading = |line: &&str| line.starts_with(&format!("{group} "));
    let wanted = verb.map(|verb| format!("{group} {verb}"));
    let from = verbs.lines().skip_while(|l| wanted.as_deref() != Some(*l));
    let rest = from.clone().skip(1).take_while(|line| !heading(line));
    let lines: Vec<&str> = from.take(1).chain(rest).collect();
    if lines.is_empty() {
        return help.to_owned();
    }
    let section = lines.join("\n");
    format!("{}\n\n  OPTIONS OF ALL VERBS:{options}", section.trim_end())
}
