//! `woadstall-scale run SCENARIO` and `woadstall-scale sweep SCENARIO --over KEY=a,b,c`.

use std::process::ExitCode;

fn main() -> ExitCode {
    woadstall_scale::cli::main()
}
