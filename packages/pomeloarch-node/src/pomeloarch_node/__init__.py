"""`pomelod`: the sockets, timers and tasks that carry out core decisions."""
