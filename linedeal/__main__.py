from linedeal.cli import main

main()
