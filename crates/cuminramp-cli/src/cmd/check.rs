//! `cuminramp check`.

use cuminramp_routes::parse_declarations;
use cuminramp_settings::parse_settings;

use crate::cmd::read_file;
use crate::connection::CommandError;
use crate::flags::Check;

/// Checks the named files and lists all of their errors.
pub(crate) fn execute(flags: &Check) -> Result<(), CommandError> {
    let mut errors = Vec::new();
    if let Some(path) = &flags.declarations {
        let found = parse_declarations(&read_file(path)?).err().unwrap_or_default();
        errors.extend(found.iter().map(|error| format!("{}: 1501 {error}", path.display())));
    }
    if let Some(path) = &flags.settings {
        let found = parse_settings(&read_file(path)?).err().unwrap_or_default();
        errors.extend(found.iter().map(|error| format!("{}: {error}", path.display())));
    }
    if flags.declarations.is_none() && flags.settings.is_none() {
        return Err(CommandError::Input("--declarations or --settings is required".into()));
    }
    if errors.is_empty() {
        println!("ok");
        return Ok(());
    }
    Err(CommandError::Input(errors.join("\n")))
}
