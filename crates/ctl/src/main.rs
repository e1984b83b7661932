//! `skylarkctl`: the operators' command line.

use std::env;
use std::io;
use std::process::ExitCode;

use skylark_ctl::exit::Exit;
use tokio::runtime;

fn main() -> ExitCode {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let exit = match runtime {
        Ok(runtime) => {
            let (mut out, mut err) = (io::stdout(), io::stderr());
            runtime.block_on(skylark_ctl::run(env::args_os(), &mut out, &mut err))
        }
        Err(_) => Exit::Output,
    };
    ExitCode::from(exit.code())
}
