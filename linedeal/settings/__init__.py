"""A cluster's settings: reads HCL files into frozen records. `build` validates `interface.Settings`."""
