"""`pomelod`: the sockets, timers and tasks round the core's decisions."""
