//! Log lines: one line of key=value pairs for each event.

use logforth::append::Stdout;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::LogfmtLayout;

/// Sends log lines of `level` and above to standard output. A second call changes nothing.
pub fn start_logging(level: &str) {
    let directives = format!("warn,cuminramp={level}");
    let Ok(filter) = directives.parse::<RustLogFilter>() else {
        return;
    };
    let starter = logforth::starter_log::builder().dispatch(|dispatch| {
        dispatch.filter(filter).append(Stdout::default().with_layout(LogfmtLayout::default()))
    });
    let _ = starter.try_apply();
}
