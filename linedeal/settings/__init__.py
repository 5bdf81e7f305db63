"""What a cluster is told of itself: HCL in, frozen records out. `build` alone knows what `interface.Settings` asks."""
