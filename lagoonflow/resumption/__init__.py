"""At which software version a stream that broke off may go on."""
