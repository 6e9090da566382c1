//! `cuminramp check`.

use cuminramp_routes::parse_declarations;
use cuminramp_settings::parse_settings;

use crate::cmd::read_file;
use crate::connection::CommandError;
use crate::flags::Check;

/// Checks files and lists everything that is wrong with them.
pub(crate) fn execute(flags: &Check) -> Result<(), CommandError> {
    let mut faults = Vec::new();
    if let Some(path) = &flags.declarations {
        let found = parse_declarations(&read_file(path)?).err().unwrap_or_default();
        faults.extend(found.iter().map(|fault| format!("{}: 1501 {fault}", path.display())));
    }
    if let Some(path) = &flags.settings {
        let found = parse_settings(&read_file(path)?).err().unwrap_or_default();
        faults.extend(found.iter().map(|fault| format!("{}: {fault}", path.display())));
    }
    if flags.declarations.is_none() && flags.settings.is_none() {
        return Err(CommandError::Input("name --declarations or --settings".into()));
    }
    if faults.is_empty() {
        println!("ok");
        return Ok(());
    }
    Err(CommandError::Input(faults.join("\n")))
}
