// Command trial-load belongs to the trials.
package main

func main() {}
